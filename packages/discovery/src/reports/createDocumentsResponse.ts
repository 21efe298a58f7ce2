import type { DocumentsRequest, DocumentsResponse } from "@ibislanding/protocol";
import type { DocumentSet } from "../documents/documentSet";
import { isNewerPosition } from "../documents/isNewerPosition";
import { selectChangedDocuments } from "../documents/selectChangedDocuments";

/** Creates the response to a host that asks for a set: what it lacks of it, or nothing if its position is not older. */
export const createDocumentsResponse = (
    set: DocumentSet | undefined,
    { knownEpoch, knownRevision }: DocumentsRequest,
): DocumentsResponse => {
    const known = { epoch: knownEpoch, revision: knownRevision };
    if (set === undefined || !isNewerPosition(set, known)) {
        return { epoch: 0, revision: 0, documents: [], unchangedKeys: [] };
    }
    const { changed, unchangedKeys } = selectChangedDocuments(set, known);
    return { epoch: set.epoch, revision: set.revision, documents: [...changed], unchangedKeys: [...unchangedKeys] };
};
