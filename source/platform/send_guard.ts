/**
 * Returns whether a call may still be sent. It is called in the same tick that hands the first
 * byte of the call to a socket; when it returns false, the call ends as `notRun`.
 */
export type SendGuard = () => boolean;
