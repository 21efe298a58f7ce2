import type { BodyDelimiter } from "@ibislanding/core";

/** HTTP response, with its body as text. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | undefined>>;
    /** May be cut if it is delimited by its connection; then only a body that parses as a document is complete. */
    readonly body: string;
    readonly delimiter: BodyDelimiter;
}
