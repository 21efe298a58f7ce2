/** Faults that a stand-in injects; set with `POST /faults`. */
export interface FaultSettings {
    /**
     * `refuse` responds with 503, `freeze` never responds, `drop` closes the connection, `delay` waits before it handles
     * the request.
     */
    readonly mode: "none" | "refuse" | "freeze" | "drop" | "delay";
    /** Wait of the `delay` mode. */
    readonly delayMs: number;
    /** Number of further requests other than GET that take effect but whose response is lost. */
    readonly loseAnswers: number;
    /** Only paths that start with this text are affected. */
    readonly pathPrefix: string;
}
