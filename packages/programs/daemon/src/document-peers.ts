/** Calls of the document watch to other entry instances, over the clients of the peer exchange. */
import {create} from '@bufbuild/protobuf';
import type {DocumentPeers} from '@turmericbay/document-watch';
import {ExchangeRequestSchema} from '@turmericbay/peer-protocol';
import type {Knowledge, PeerError, PeerServiceClient} from '@turmericbay/peer-protocol';
import type {InstanceId} from '@turmericbay/types';
import type {CallOptions} from '@connectrpc/connect';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {toPeerAnswer} from './peer-messages.js';
import type {PeerExchange} from './peer-exchange.js';

type DocumentPeerError = {readonly code: 'PEER_UNAVAILABLE'; readonly message: string};

const toUnavailable = (error: PeerError): DocumentPeerError => ({code: 'PEER_UNAVAILABLE', message: `${error.code}: ${error.message}`});

export const createDocumentPeers = (options: {
	readonly exchange: () => PeerExchange;
	readonly getKnowledge: () => Knowledge;
}): DocumentPeers => {
	const call = async <Message>(
		instance: InstanceId,
		invoke: (service: PeerServiceClient, callOptions: CallOptions) => Promise<Message>,
	): Promise<Result<Message, DocumentPeerError>> => {
		const peer = options.exchange().findPeer(instance);
		if (peer === undefined) {
			return err({code: 'PEER_UNAVAILABLE', message: `${instance} is not a configured peer`});
		}

		const result = await peer.client.call(invoke);
		return result.mapErr(error => toUnavailable(error));
	};

	return {
		known: () => options.exchange().peers().map(({member: {instance, zone}}) => ({instance, zone})),
		async query({instance}) {
			const request = create(ExchangeRequestSchema, {knowledge: options.getKnowledge()});
			const result = await call(instance, async (service, callOptions) => service.exchange(request, callOptions));
			return result.andThen(({knowledge}) => knowledge === undefined
				? err({code: 'PEER_UNAVAILABLE' as const, message: 'the response holds no knowledge message'})
				: ok(toPeerAnswer(knowledge)));
		},
		async fetchDocument({instance}) {
			const result = await call(instance, async (service, callOptions) => service.getDocument({}, callOptions));
			return result.map(({envelopeJson}) => envelopeJson);
		},
		async pushDocument({instance, envelopeJson}) {
			const result = await call(instance, async (service, callOptions) => service.pushDocument({envelopeJson}, callOptions));
			return result.map(({documentVersion}) => Number(documentVersion));
		},
	};
};
