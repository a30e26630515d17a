export const packageName = '@turmericbay/fleet-ledger';
