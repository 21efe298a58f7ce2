/** Answer of one HTTP exchange. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | undefined>>;
    readonly body: string;
}
