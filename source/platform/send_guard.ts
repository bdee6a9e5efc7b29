/**
 * Asked in the very tick in which the first byte of a call would be handed to a socket;
 * when it returns false, the call ends as `notRun`.
 */
export type SendGuard = () => boolean;
