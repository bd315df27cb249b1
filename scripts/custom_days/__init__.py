"""Own days on copies of a deployment: fixed, drawn, and with the operators' further troubles."""
