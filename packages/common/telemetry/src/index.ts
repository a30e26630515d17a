export const packageName = '@turmericbay/telemetry';
