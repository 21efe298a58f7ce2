/** How a task handles messages and errors. */
export interface TaskOptions<Message> {
    readonly handle: (message: Message) => Promise<void> | void;
    /** Called when a handler throws; the task goes on with the next message. */
    readonly onError: (error: unknown) => void;
}
