/** Connects the grant holder to the team limits of the document and to the peers. */
import type {DocumentWatch} from '@turmericbay/document-watch';
import {createGrantHolder} from '@turmericbay/grant-ledger';
import type {GrantHolder, GrantHolderOptions} from '@turmericbay/grant-ledger';
import type {PeerExchange} from './peer-exchange.js';
import {listTeamLimits} from './team-limits.js';

export const createConnectedGrantHolder = (options: Omit<GrantHolderOptions, 'peer'> & {
	readonly documentWatch: DocumentWatch;
	readonly exchange: PeerExchange;
}): GrantHolder => {
	const {documentWatch, exchange, identity} = options;
	const grants = createGrantHolder({
		...options,
		peer: {
			async requestTransfer({to, team, units}) {
				const peer = exchange.findPeer(to.instance);
				const result = await peer?.client.call(async (service, callOptions) => service.transferGrant({team, units, ...identity}, callOptions));
				return result?.isOk() ? result.value.units : 0;
			},
		},
	});
	documentWatch.subscribe(({version, document}) => {
		grants.setLimits({version, limits: listTeamLimits(document)});
	});
	return grants;
};
