/**
 * Returns a listener that passes on what the given one throws. An exception in the event of a socket or a message would otherwise
 * end the process, and all requests with it.
 */
export const guardEvent = <Args extends readonly unknown[]>(
    listener: (...args: Args) => void,
    onError: (error: unknown) => void,
): (...args: Args) => void =>
(...args) => {
    try {
        listener(...args);
    }
    catch (error) {
        onError(error);
    }
};
