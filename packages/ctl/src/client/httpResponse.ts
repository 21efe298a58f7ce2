/** Status and body of an HTTP response. */
export interface HttpResponse {
    readonly status: number;
    readonly body: string;
}
