/** Wire format of a report, sent by its own host or relayed by another. */
export interface ReportEnvelope {
    /** JSON text of the report. */
    readonly text: string;
    /** Time since its host created it. */
    readonly ageMs: number;
    /** Set if the age leaves out how long a call of its host was under way, which the called host can't know. */
    readonly isAgeUncertain?: true | undefined;
}
