import type { Failure } from "@ibislanding/core";
import type { ConfigurationChange, ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";

/** Range of archived changes to read; both revisions are exclusive. */
interface ArchiveRange {
    readonly beforeRevision: number;
    readonly afterRevision: number;
    readonly limit: number;
}

/** Port to the archive of changes, including those that the configuration document no longer lists. */
export interface AuditArchive {
    /** Archives the document's recent changes that are not archived yet; a later call retries failed writes. */
    readonly archive: (document: ConfigurationDocument) => Promise<void>;
    /** Returns archived changes, latest first. */
    readonly read: (range: ArchiveRange) => Promise<Result<readonly ConfigurationChange[], Failure>>;
}
