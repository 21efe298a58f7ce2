/** Returns the message and the stack of something that was thrown, as fields of an event. */
export const describeError = (error: unknown): { readonly reason: string; readonly stack: string | undefined; } =>
    error instanceof Error ? { reason: error.message, stack: error.stack } : { reason: typeof error, stack: undefined };
