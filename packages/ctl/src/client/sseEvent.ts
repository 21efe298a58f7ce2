/** One server-sent event. */
export interface SseEvent {
    readonly event: string;
    readonly id: string | undefined;
    readonly data: string;
}
