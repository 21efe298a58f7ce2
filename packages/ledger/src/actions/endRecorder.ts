import type { LedgerOperation } from "../operations/ledgerOperation";

/** Records how claims ended (`finish`, `release`, `markUnknown`), also after the caller has been answered. */
export interface EndRecorder extends AsyncDisposable {
    /** Resolves once the operation is applied or the recorder is disposed of. */
    readonly record: (operation: LedgerOperation) => Promise<void>;
    readonly unrecordedCount: () => number;
}
