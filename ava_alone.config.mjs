/** Runs the tests that need the machine for themselves, one file after the other. */
export default {
  files: ["build/**/*_alone_test.js"],
  concurrency: 1,
  serial: true,
  timeout: "120s",
  workerThreads: false,
};
