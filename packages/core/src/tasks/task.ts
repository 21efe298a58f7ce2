/** An owner of state that handles its messages one at a time, in order. */
export interface Task<Message> extends AsyncDisposable {
    /** Queues a message; messages posted after disposal are dropped. */
    readonly post: (message: Message) => void;
    /** Number of messages that wait. */
    readonly queueLength: () => number;
}
