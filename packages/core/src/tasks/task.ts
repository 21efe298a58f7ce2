/** An actor: owns state and handles its messages one at a time, in order of arrival. */
export interface Task<Message> extends AsyncDisposable {
    /** Queues a message; messages posted after disposal are discarded. */
    readonly post: (message: Message) => void;
    /** Number of queued messages, without the one being handled. */
    readonly queueLength: () => number;
}
