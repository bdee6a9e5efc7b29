/** Events numbered 5000 to 5999. */
export const CONTROL_EVENTS = {} as const;
