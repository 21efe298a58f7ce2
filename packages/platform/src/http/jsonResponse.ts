/** HTTP response, with its body as text. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | undefined>>;
    readonly body: string;
}
