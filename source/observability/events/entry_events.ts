/** Events numbered 4000 to 4999. */
export const ENTRY_EVENTS = {} as const;
