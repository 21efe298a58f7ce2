import type { HttpHandler } from "../http/httpHandler";

/** Interface between a started program and the runtime. */
export interface RunningProgram extends AsyncDisposable {
    /** Reason why the program is not ready for new work; `undefined` when it is ready. */
    readonly notReadyReason: () => string | undefined;
    /** Snapshot of the state for operators, without secrets and of bounded size. */
    readonly stateDump: () => unknown;
    /** URLs of the listeners by name, printed on startup. */
    readonly urls: Readonly<Record<string, string>>;
    /** Completes the work in progress without aborting requests; resolves after the timeout at the latest. */
    readonly drain: (timeoutMs: number) => Promise<void>;
    /** Handles additional paths of the operations listener. */
    readonly operationsHandler?: HttpHandler;
}
