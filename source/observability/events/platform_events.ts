/** Events numbered 2000 to 2999. */
export const PLATFORM_EVENTS = {} as const;
