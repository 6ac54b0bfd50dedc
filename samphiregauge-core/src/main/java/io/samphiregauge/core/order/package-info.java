/** Orders to engines and to the platform: logged as intents first, one at a time per target. */
package io.samphiregauge.core.order;
