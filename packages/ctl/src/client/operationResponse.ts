/** Operation as returned by the administration API. */
export interface OperationResponse {
    readonly operationId: string;
    readonly revision: number;
    readonly changedBy: string;
    readonly dryRun: boolean;
    readonly resources: readonly {
        readonly action: string;
        readonly kind: string;
        readonly name: string;
        readonly generation: number;
    }[];
    readonly inForce: {
        readonly status: "True" | "False" | "Unknown";
        readonly reason: string;
        readonly membersInForce: number;
        readonly membersExpected: number;
    };
}
