/** Events numbered 6000 to 6999. */
export const STEP_EVENTS = {} as const;
