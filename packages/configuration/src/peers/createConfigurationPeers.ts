import type { Failure, Revision } from "@ibislanding/core";
import { type ConfigurationResponse, ConfigurationServiceService, type PeerAddress } from "@ibislanding/protocol";
import type { ConfigurationDocument } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import { parseDocument } from "../documents/parseDocument";
import { serializeDocument } from "../documents/serializeDocument";
import type { ConfigurationPeers } from "./configurationPeers";
import type { ConfigurationPeersOptions } from "./configurationPeersOptions";
import type { PeerConfiguration } from "./peerConfiguration";

/** Deadline of calls that carry at most a revision. */
const SHORT_TIMEOUT_MS = 1_000;

/** Deadline of calls that may carry a whole document over a slow link. */
const DOCUMENT_TIMEOUT_MS = 3_000;

const DIRECT_SIZE_BYTES = 2_048;

const toPeerConfiguration = ({ revision, document }: ConfigurationResponse): Result<PeerConfiguration, Failure> => {
    const known = revision as Revision | undefined;
    return document === ""
        ? Ok({ revision: known, document: undefined })
        : parseDocument(document).map(parsed => ({ revision: known, document: parsed }));
};

/** Creates the port to other followers over gRPC. */
export const createConfigurationPeers = (options: ConfigurationPeersOptions): ConfigurationPeers => {
    const { clients, sample, directSizeBytes = DIRECT_SIZE_BYTES } = options;
    let serialized: { readonly document: ConfigurationDocument; readonly text: string; } | undefined;

    const textOf = (document: ConfigurationDocument): string => {
        if (serialized?.document !== document) {
            serialized = { document, text: serializeDocument(document) };
        }
        return serialized.text;
    };

    const send = async (
        peer: PeerAddress,
        revision: Revision,
        text: string,
    ): Promise<Result<Revision | undefined, Failure>> => {
        const timeoutMs = text === "" ? SHORT_TIMEOUT_MS : DOCUMENT_TIMEOUT_MS;
        const announcement = { revision, document: text };
        const answer = await clients.call(peer, ConfigurationServiceService.announce, announcement, timeoutMs);
        return answer.map(({ revision: known }) => known as Revision | undefined);
    };

    const sendIfNeeded = async (
        peer: PeerAddress,
        revision: Revision,
        text: string,
    ): Promise<Result<void, Failure>> => {
        const known = await send(peer, revision, "");
        const isKnown = known.ok && known.val !== undefined && known.val >= revision;
        const answer = known.err || isKnown ? known : await send(peer, revision, text);
        return answer.map(() => undefined);
    };

    return {
        sample,
        fetch: async (peer, knownRevision) => {
            const request = { knownRevision };
            const answer = await clients.call(peer, ConfigurationServiceService.fetch, request, DOCUMENT_TIMEOUT_MS);
            return answer.andThen(toPeerConfiguration);
        },
        announce: async (peer, document) => {
            const text = textOf(document);
            return Buffer.byteLength(text) <= directSizeBytes
                ? (await send(peer, document.revision, text)).map(() => undefined)
                : sendIfNeeded(peer, document.revision, text);
        },
    };
};
