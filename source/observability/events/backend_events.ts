/** Events numbered 3000 to 3999. */
export const BACKEND_EVENTS = {} as const;
