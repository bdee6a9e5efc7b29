/** Abort reason for a normal end. Without a reason, each abort creates an error with its stack. */
export const ENDED = "ended";
