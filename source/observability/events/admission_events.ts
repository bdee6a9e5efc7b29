/** Events numbered 8000 to 8999. */
export const ADMISSION_EVENTS = {} as const;
