import type { Failure, Revision } from "@ibislanding/core";
import { type ConfigurationResponse, ConfigurationServiceService, type PeerAddress } from "@ibislanding/protocol";
import type { ConfigurationDocument } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import { parseDocument } from "../documents/parseDocument";
import { serializeDocument } from "../documents/serializeDocument";
import type { ConfigurationPeers } from "./configurationPeers";
import type { ConfigurationPeersOptions } from "./configurationPeersOptions";
import type { PeerConfiguration } from "./peerConfiguration";

/** Timeout of calls without a document. */
const SHORT_TIMEOUT_MS = 1_000;

/** Timeout of calls that may transfer a whole document over a slow link. */
const DOCUMENT_TIMEOUT_MS = 3_000;

const DEFAULT_MAXIMUM_INLINE_BYTES = 2_048;

const toPeerConfiguration = ({ revision, document }: ConfigurationResponse): Result<PeerConfiguration, Failure> => {
    const known = revision as Revision | undefined;
    return document === ""
        ? Ok({ revision: known, document: undefined })
        : parseDocument(document).map(parsed => ({ revision: known, document: parsed }));
};

/** Creates the port to other followers over gRPC. */
export const createConfigurationPeers = (options: ConfigurationPeersOptions): ConfigurationPeers => {
    const { clients, sample, maximumInlineBytes = DEFAULT_MAXIMUM_INLINE_BYTES } = options;
    let serialized: { readonly document: ConfigurationDocument; readonly text: string; } | undefined;

    const serializeCached = (document: ConfigurationDocument): string => {
        if (serialized?.document !== document) {
            serialized = { document, text: serializeDocument(document) };
        }
        return serialized.text;
    };

    const sendAnnouncement = async (
        peer: PeerAddress,
        revision: Revision,
        text: string,
    ): Promise<Result<Revision | undefined, Failure>> => {
        const timeoutMs = text === "" ? SHORT_TIMEOUT_MS : DOCUMENT_TIMEOUT_MS;
        const announcement = { revision, document: text };
        const response = await clients.call(peer, ConfigurationServiceService.announce, announcement, timeoutMs);
        return response.map(({ revision: known }) => known as Revision | undefined);
    };

    const announceRevisionFirst = async (
        peer: PeerAddress,
        revision: Revision,
        text: string,
    ): Promise<Result<void, Failure>> => {
        const known = await sendAnnouncement(peer, revision, "");
        const isKnown = known.ok && known.val !== undefined && known.val >= revision;
        const response = known.err || isKnown ? known : await sendAnnouncement(peer, revision, text);
        return response.map(() => undefined);
    };

    return {
        sample,
        fetch: async (peer, knownRevision) => {
            const request = { knownRevision };
            const response = await clients.call(peer, ConfigurationServiceService.fetch, request, DOCUMENT_TIMEOUT_MS);
            return response.andThen(toPeerConfiguration);
        },
        announce: async (peer, document) => {
            const text = serializeCached(document);
            return Buffer.byteLength(text) <= maximumInlineBytes
                ? (await sendAnnouncement(peer, document.revision, text)).map(() => undefined)
                : announceRevisionFirst(peer, document.revision, text);
        },
    };
};
