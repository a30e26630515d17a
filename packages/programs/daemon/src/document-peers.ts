/** The document watch's view of the other entry instances, over the peer exchange. */
import {create} from '@bufbuild/protobuf';
import type {DocumentPeers} from '@turmericbay/document-watch';
import {ExchangeRequestSchema} from '@turmericbay/peer-protocol';
import type {Knowledge, PeerError, PeerServiceClient} from '@turmericbay/peer-protocol';
import type {InstanceId} from '@turmericbay/types';
import type {CallOptions} from '@connectrpc/connect';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {toPeerAnswer} from './knowledge.js';
import type {PeerExchange} from './peer-exchange.js';

type DocumentPeerError = {readonly code: 'PEER_UNAVAILABLE'; readonly message: string};

const toUnavailable = (error: PeerError): DocumentPeerError => ({code: 'PEER_UNAVAILABLE', message: `${error.code}: ${error.message}`});

export const createDocumentPeers = (options: {
	readonly exchange: () => PeerExchange;
	readonly describeKnowledge: () => Knowledge;
}): DocumentPeers => {
	const call = async <Answer>(
		instance: InstanceId,
		invoke: (service: PeerServiceClient, callOptions: CallOptions) => Promise<Answer>,
	): Promise<Result<Answer, DocumentPeerError>> => {
		const row = options.exchange().findRow(instance);
		if (row === undefined) {
			return err({code: 'PEER_UNAVAILABLE', message: `there is no member ${instance}`});
		}

		const answer = await row.client.call(invoke);
		return answer.mapErr(error => toUnavailable(error));
	};

	return {
		known: () => options.exchange().rows().map(({member: {instance, zone}}) => ({instance, zone})),
		async query({instance}) {
			const request = create(ExchangeRequestSchema, {knowledge: options.describeKnowledge()});
			const answer = await call(instance, async (service, callOptions) => service.exchange(request, callOptions));
			return answer.andThen(({knowledge}) => knowledge === undefined
				? err({code: 'PEER_UNAVAILABLE' as const, message: 'the answer holds no knowledge'})
				: ok(toPeerAnswer(knowledge)));
		},
		async fetchDocument({instance}) {
			const answer = await call(instance, async (service, callOptions) => service.getDocument({}, callOptions));
			return answer.map(({envelopeJson}) => envelopeJson);
		},
		async pushDocument({instance, envelopeJson}) {
			const answer = await call(instance, async (service, callOptions) => service.pushDocument({envelopeJson}, callOptions));
			return answer.map(({documentVersion}) => Number(documentVersion));
		},
	};
};
