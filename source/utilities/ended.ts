/** Reason of an abort that is no failure. Without a reason, each abort creates an error with its stack. */
export const ENDED = "ended";
