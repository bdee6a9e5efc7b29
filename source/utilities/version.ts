/** Version of the project, the same as in package.json. */
export const VERSION = "0.1.0";
