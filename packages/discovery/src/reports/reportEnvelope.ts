/** Wire format of a report, sent by its own host or relayed by another. */
export interface ReportEnvelope {
    /** JSON text of the report. */
    readonly text: string;
    /** Time since its host created it. */
    readonly ageMs: number;
}
