import type { Task } from "./task";
import type { TaskOptions } from "./taskOptions";

/** Creates a task. Disposal waits for the message that is being handled and discards queued ones. */
export const createTask = <Message>(options: TaskOptions<Message>): Task<Message> => {
    const queue: Message[] = [];
    let running: Promise<void> | undefined;
    let disposed = false;

    const drain = async (): Promise<void> => {
        while (queue.length > 0 && !disposed) {
            const message = queue.shift() as Message;
            try {
                await options.handle(message);
            }
            catch (error) {
                options.onError(error);
            }
        }
        running = undefined;
    };

    return {
        post: message => {
            if (disposed) {
                return;
            }
            queue.push(message);
            running ??= Promise.resolve().then(drain);
        },
        queueLength: () => queue.length,
        [Symbol.asyncDispose]: async () => {
            disposed = true;
            await running;
        },
    };
};
