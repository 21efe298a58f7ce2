/** Complete response of an upstream to an action. */
export interface ActionAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}
