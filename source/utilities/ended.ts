/** Abort reason for a normal end; an abort without a reason creates an error with a stack trace. */
export const ENDED = "ended";
