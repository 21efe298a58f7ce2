import type { LedgerOperation } from "../operations/ledgerOperation";

/** Writes the ends of claims, also after the caller was answered. */
export interface EndRecorder extends AsyncDisposable {
    /** Resolves once the operation is applied or the recorder is disposed of. */
    readonly record: (operation: LedgerOperation) => Promise<void>;
    readonly unrecordedCount: () => number;
}
