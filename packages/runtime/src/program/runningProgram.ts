import type { HttpHandler } from "../http/httpHandler";

/** A started program, as the runtime sees it. */
export interface RunningProgram extends AsyncDisposable {
    /** Why the program takes no new work; undefined when it is ready. */
    readonly notReadyReason: () => string | undefined;
    /** State for operators, without secrets and of bounded size. */
    readonly stateDump: () => unknown;
    /** URLs of the listeners by name, printed at start. */
    readonly urls: Readonly<Record<string, string>>;
    /** Ends the work in hand without cutting off requests; resolves at the latest at the deadline. */
    readonly drain: (deadlineMs: number) => Promise<void>;
    /** Handles further paths of the operations listener. */
    readonly operationsHandler?: HttpHandler;
}
