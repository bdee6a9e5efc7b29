console.log("snipepath-node");
