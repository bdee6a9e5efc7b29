/** Events numbered 7000 to 7999. */
export const MEMBERSHIP_EVENTS = {} as const;
