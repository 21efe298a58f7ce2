/** Response of an upstream in its stored form. */
export interface RecordedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Base64-encoded body; undefined if the body is larger than `maximumAnswerBytes`. */
    readonly bodyBase64: string | undefined;
}
