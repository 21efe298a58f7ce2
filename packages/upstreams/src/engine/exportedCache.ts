/** KV cache of one stream, ready for import by another engine. */
export interface ExportedCache {
    readonly handle: string;
    readonly tokens: number;
    readonly sizeBytes: number;
}
