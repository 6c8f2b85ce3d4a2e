//! Orders to an engine, which can refuse those with an old fencing number.

use oriole_types::domain_type;
use oriole_types::ids::Fence;

domain_type! {
    /// An order to an engine.
    pub enum Order {
        /// Load the weights of experts that a later map needs.
        LoadExperts {
            /// Version of that map.
            map_version: u64,
            /// Numbers of the experts.
            experts: Vec<u32>,
        },
        /// Switch to another expert map.
        SwitchMap {
            /// Version of the map to use.
            map_version: u64,
        },
        /// Change the role of the engine.
        SetRole {
            /// Name of the new role.
            role: String,
        },
    }
}

domain_type! {
    /// Body of `POST /v1/order`.
    pub struct OrderRequest {
        /// Fencing number of the order.
        pub fence: Fence,
        /// The order.
        pub order: Order,
    }
}

domain_type! {
    /// Response to `POST /v1/order`; its status is 409 if the order was refused.
    pub struct OrderAnswer {
        /// Whether the order was obeyed.
        pub obeyed: bool,
        /// Highest fencing number obeyed so far.
        pub highest: Fence,
    }
}

/// An order that was obeyed, with its fencing number.
pub type ObeyedOrder = OrderRequest;

/// The orders that an engine obeyed, and the highest fencing number among them.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fencing: bool,
    highest: Fence,
    obeyed: Vec<ObeyedOrder>,
}

impl Orders {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest: Fence::default(),
            obeyed: Vec::new(),
        }
    }

    /// Obeys an order, unless fencing numbers are checked and its number is below the highest.
    pub(crate) fn apply(&mut self, req: OrderRequest) -> OrderAnswer {
        let obeyed = !self.checks_fencing || req.fence >= self.highest;
        if obeyed {
            self.highest = self.highest.max(req.fence);
            self.obeyed.push(req);
        }
        OrderAnswer {
            obeyed,
            highest: self.highest,
        }
    }

    pub(crate) fn obeyed(&self) -> &[ObeyedOrder] {
        &self.obeyed
    }
}
