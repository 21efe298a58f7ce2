/** Faults of a stand-in; set with `POST /faults`. */
export interface FaultSettings {
    /** `refuse` answers 503, `freeze` never answers, `drop` closes the connection, `delay` waits first. */
    readonly mode: "none" | "refuse" | "freeze" | "drop" | "delay";
    readonly delayMs: number;
    /** Writes that take effect but whose answer is lost. */
    readonly loseAnswers: number;
    /** Only paths that start with this text are affected. */
    readonly pathPrefix: string;
}
