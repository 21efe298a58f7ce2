/** Message handler and error handler of a task. */
export interface TaskOptions<Message> {
    readonly handle: (message: Message) => Promise<void> | void;
    /** Called when `handle` throws or rejects; the task continues with the next message. */
    readonly onError: (error: unknown) => void;
}
