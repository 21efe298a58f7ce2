/** Status and body of an HTTP answer. */
export interface HttpResponse {
    readonly status: number;
    readonly body: string;
}
