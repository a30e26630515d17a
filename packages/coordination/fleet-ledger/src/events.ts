/** Events of the ledger for the log. */
export type FleetLedgerEvent
	= | {readonly type: 'store-failed'; readonly message: string}
		| {readonly type: 'state-malformed'; readonly message: string}
		| {readonly type: 'state-went-back'; readonly message: string}
		| {readonly type: 'control-failed'; readonly message: string}
		| {readonly type: 'written'; readonly revision: number};

export type ReportEvent = (event: FleetLedgerEvent) => void;
