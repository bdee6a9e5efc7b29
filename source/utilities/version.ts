/** Version of the project, as package.json has it. */
export const VERSION = "0.1.0";
