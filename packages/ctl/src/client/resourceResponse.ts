/** Resource as returned by the administration API. */
export interface ResourceResponse {
    readonly kind: string;
    readonly name: string;
    readonly team: string;
    readonly spec: Readonly<Record<string, unknown>>;
    readonly generation: number;
    readonly version: number;
    readonly changedBy: string;
    readonly changedAtMs: number;
    readonly status: {
        readonly observedGeneration: number;
        readonly conditions: readonly {
            readonly type: string;
            readonly status: string;
            readonly reason: string;
            readonly changedAtMs: number;
        }[];
        readonly zones: readonly Readonly<Record<string, unknown>>[];
    };
}
