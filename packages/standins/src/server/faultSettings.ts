/** Faults that a stand-in injects; set with `POST /faults`. */
export interface FaultSettings {
    /** `refuse` responds with 503, `freeze` never responds, `drop` closes the connection, `delay` waits first. */
    readonly mode: "none" | "refuse" | "freeze" | "drop" | "delay";
    readonly delayMs: number;
    /** Number of further writes that take effect but whose response is lost. */
    readonly loseAnswers: number;
    /** Only paths that start with this text are affected. */
    readonly pathPrefix: string;
}
