/** A host's report on its way to another. */
export interface ReportEnvelope {
    /** JSON text of the report. */
    readonly text: string;
    /** Time since its host made it. */
    readonly ageMs: number;
}
