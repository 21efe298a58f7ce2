/** Status and body of an HTTP answer. */
export interface HttpReply {
    readonly status: number;
    readonly body: string;
}
